package puffinbarrow.coordinator;

import puffinbarrow.control.Event;
import puffinbarrow.proto.Frame;

/** What may lie in the core's inbox: whatever the threads of the channels made of what came. */
public sealed interface Input {
    /** The welcome is the core's to send: from then on every order reaches the stream, see Core.joined. */
    record Joined(Frame.Hello hello, Outlet outlet, Frame.Welcome welcome) implements Input {}

    record Left(int proxy, Outlet outlet) implements Input {}

    record FromProxy(int proxy, Outlet outlet, Frame frame) implements Input {}

    record FromRegistry(Frame.ServerList list) implements Input {}

    /** The registry's stream stands (its outlet) or is gone (null). */
    record RegistryUp(Outlet outlet) implements Input {}

    record StoreUp(Outlet outlet) implements Input {}

    record FromStore(Frame frame) implements Input {}

    record FromPeer(int sender, String text) implements Input {}

    record PeerUp(int peer, Outlet outlet) implements Input {}

    record ProbeEnded(Event.Probed probed) implements Input {}

    /** Somebody asks how things stand; answered on the decision thread. */
    record Ask(java.util.function.Consumer<java.util.Map<String, Object>> answer) implements Input {}

    /** A drill or a test: the channel sends at this part of its pace. */
    record Pace(double part) implements Input {}
}
