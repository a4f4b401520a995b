package puffinbarrow.memory;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A directory of the file system, locked through the file {@code lock} in it. */
final class RealDisk implements Disk {
    private final Path folder;
    private FileChannel lockFile;
    private FileLock lock;

    RealDisk(Path folder) {
        this.folder = folder;
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.map(p -> p.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public ByteBuffer read(String name) throws IOException {
        return ByteBuffer.wrap(Files.readAllBytes(folder.resolve(name)));
    }

    @Override
    public Out create(String name) throws IOException {
        FileChannel channel = FileChannel.open(
                folder.resolve(name),
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
        return new Out() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            }

            @Override
            public void force() throws IOException {
                channel.force(false);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                folder.resolve(from),
                folder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void forceFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public void lock() throws IOException {
        Files.createDirectories(folder);
        lockFile = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException heldInThisProcess) {
            lock = null;
        }
        if (lock == null) {
            lockFile.close();
            throw new IOException("another coordinator keeps its memory in " + folder);
        }
    }

    @Override
    public void close() throws IOException {
        if (lock != null) {
            lock.release();
            lockFile.close();
            lock = null;
        }
    }
}
