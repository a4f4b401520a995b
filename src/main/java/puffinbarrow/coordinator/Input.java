package puffinbarrow.coordinator;

import java.util.Map;
import java.util.function.Consumer;
import puffinbarrow.control.Event;
import puffinbarrow.proto.Frame;

/** The inputs of {@link CoordinatorCore}, put into its inbox by the threads that receive them. */
public sealed interface Input {
    /**
     * A proxy's hello was accepted; the core sends the welcome itself, as every order from then on must reach the
     * proxy.
     */
    record Joined(Frame.Hello hello, FrameSink sink, Frame.Welcome welcome) implements Input {}

    /** A proxy's connection ended. */
    record Left(int proxy, FrameSink sink) implements Input {}

    /** A report or acknowledgement from a proxy, with the connection that it came on. */
    record FromProxy(int proxy, FrameSink sink, Frame frame) implements Input {}

    /** A server list from the registry. */
    record FromRegistry(Frame.ServerList list) implements Input {}

    /** The connection to the registry is up, or has ended (null). */
    record RegistryConnection(FrameSink sink) implements Input {}

    /** The connection to the store is up, or has ended (null). */
    record StoreConnection(FrameSink sink) implements Input {}

    /** A frame from the store. */
    record FromStore(Frame frame) implements Input {}

    /** A message from a peer coordinator. */
    record FromPeer(int sender, String text) implements Input {}

    /** The connection to a peer coordinator is up, or has ended (null). */
    record PeerConnection(int peer, FrameSink sink) implements Input {}

    /** The outcome of a probe. */
    record ProbeEnded(Event.Probed probed) implements Input {}

    /** An admin client asks for the status; {@code answer} is called on the decision thread. */
    record StatusRequest(Consumer<Map<String, Object>> answer) implements Input {}

    /** Slows the channel to the proxies to this fraction of its configured rate, above 0 and up to 1. */
    record SetPace(double fraction) implements Input {}
}
