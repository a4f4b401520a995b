package puffinbarrow.emulator;

import puffinbarrow.control.Order;

/**
 * A slice's lines as a value that proxies share: the order that changes a table gives the same new table to all who hold
 * the old one, so that ten thousand slices at a thousand proxies cost a reference each.
 */
final class Table {
    static final Table EMPTY = new Table(new Server[0], new double[0]);

    final Server[] servers;
    final double[] weights;
    private Order lastOrder;
    private Table lastResult;

    private Table(Server[] servers, double[] weights) {
        this.servers = servers;
        this.weights = weights;
    }

    static Table of(Server server) {
        return new Table(new Server[] {server}, new double[] {1});
    }

    int size() {
        return servers.length;
    }

    boolean holds(Server server) {
        for (Server each : servers) {
            if (each == server) {
                return true;
            }
        }
        return false;
    }

    /** Lines stand in the order of their servers' ids. */
    Table with(Order.SetLine order, Server server, boolean sole) {
        if (order == lastOrder) {
            return lastResult;
        }
        Table result = sole && order.weight() > 0
                ? new Table(new Server[] {server}, new double[] {order.weight()})
                : changed(server, order.weight());
        if (this != EMPTY) {
            lastOrder = order;
            lastResult = result;
        }
        return result;
    }

    private Table changed(Server server, double weight) {
        int at = 0;
        while (at < servers.length && servers[at].id().compareTo(server.id()) < 0) {
            at++;
        }
        boolean there = at < servers.length && servers[at] == server;
        int grows = weight > 0 ? there ? 0 : 1 : there ? -1 : 0;
        if (grows == 0 && !there) {
            return this;
        }
        if (servers.length + grows == 0) {
            return EMPTY;
        }
        Server[] to = new Server[servers.length + grows];
        double[] parts = new double[to.length];
        int tail = there ? at + 1 : at;
        int toTail = weight > 0 ? at + 1 : at;
        System.arraycopy(servers, 0, to, 0, at);
        System.arraycopy(weights, 0, parts, 0, at);
        System.arraycopy(servers, tail, to, toTail, servers.length - tail);
        System.arraycopy(weights, tail, parts, toTail, servers.length - tail);
        if (weight > 0) {
            to[at] = server;
            parts[at] = weight;
        }
        return new Table(to, parts);
    }
}
