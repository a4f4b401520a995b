package puffinbarrow.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

/**
 * Guards names that leave the process (messages, settings, stored data, metrics, flags) against renames: each name in
 * external-names.txt must still stand, as a whole word, in the string constants of the compiled program, in its
 * command line, in its class names where records are written out, in its resources or in the deploy file.
 */
class ExternalNamesTest {
    private static final Path LIST = Path.of("src/test/resources/puffinbarrow/external-names.txt");
    private static final Path DEPLOY_FILE = Path.of("deploy/balancer.toml");
    private static final Path SITE_GENERATOR = Path.of("deploy/sites/generate.sh");
    private static final Path RESOURCES = Path.of("src/main/resources/puffinbarrow");

    @Test
    void everyNameThatLeavesTheProcessStillStandsInTheProgram() throws Exception {
        String texts = String.join("\n", programTexts());
        List<String> names = listedNames();
        assertTrue(names.size() > 500, "the list holds the names of the whole program, got " + names.size());
        List<String> missing =
                names.stream().filter(name -> !standsIn(texts, name)).toList();
        assertEquals(List.of(), missing);
    }

    private static List<String> listedNames() throws IOException {
        return Files.readAllLines(LIST).stream()
                .map(line -> line.replaceAll("#.*", "").strip())
                .filter(name -> !name.isEmpty())
                .toList();
    }

    private static boolean standsIn(String texts, String name) {
        return Pattern.compile("(?<![A-Za-z0-9_])" + Pattern.quote(name) + "(?![A-Za-z0-9_])")
                .matcher(texts)
                .find();
    }

    private static List<String> programTexts() throws Exception {
        List<String> texts = new ArrayList<>();
        Path classes = Path.of(
                Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        for (Path file : filesBelow(classes, ".class")) {
            texts.addAll(stringConstants(file));
            texts.add(simpleName(file));
        }
        for (Path file : filesBelow(RESOURCES, "")) {
            texts.add(file.getFileName().toString());
            texts.add(Files.readString(file));
        }
        texts.add(Files.readString(DEPLOY_FILE));
        texts.add(Files.readString(SITE_GENERATOR));
        addCommandLine(new CommandLine(Commands.class).getCommandSpec(), texts);
        return texts;
    }

    /** Class names leave the process where records are written out with their type. */
    private static String simpleName(Path classFile) {
        return classFile.getFileName().toString().replaceAll("\\.class$", "").replaceAll("^.*\\$", "");
    }

    private static List<Path> filesBelow(Path folder, String ending) throws IOException {
        try (var files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile)
                    .filter(file -> file.toString().endsWith(ending))
                    .toList();
        }
    }

    private static void addCommandLine(CommandSpec command, List<String> texts) {
        texts.add(command.name());
        texts.addAll(List.of(command.version()));
        command.usageMessage().exitCodeList().forEach((code, meaning) -> texts.add(code + ":" + meaning));
        for (OptionSpec option : command.options()) {
            texts.addAll(List.of(option.names()));
        }
        command.subcommands().values().forEach(sub -> addCommandLine(sub.getCommandSpec(), texts));
    }

    /** Reads the constant pool of a class file and returns its string constants. */
    private static List<String> stringConstants(Path classFile) throws IOException {
        Map<Integer, String> utf8 = new HashMap<>();
        List<Integer> strings = new ArrayList<>();
        try (DataInputStream in = new DataInputStream(new BufferedInputStream(Files.newInputStream(classFile)))) {
            in.skipBytes(8);
            int count = in.readUnsignedShort();
            for (int index = 1; index < count; index++) {
                int tag = in.readUnsignedByte();
                switch (tag) {
                    case 1 -> utf8.put(index, in.readUTF());
                    case 8 -> strings.add(in.readUnsignedShort());
                    case 7, 16, 19, 20 -> in.skipBytes(2);
                    case 15 -> in.skipBytes(3);
                    case 3, 4, 9, 10, 11, 12, 17, 18 -> in.skipBytes(4);
                    case 5, 6 -> {
                        in.skipBytes(8);
                        index++;
                    }
                    default -> throw new IOException(classFile + ": unknown constant tag " + tag);
                }
            }
        }
        return strings.stream().map(utf8::get).toList();
    }
}
