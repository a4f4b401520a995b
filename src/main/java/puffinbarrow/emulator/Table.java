package puffinbarrow.emulator;

import puffinbarrow.control.Order;

/**
 * The table of a slice: servers with weights, as an immutable value shared between proxies. An order applied to the
 * same table gives the same new table to all proxies, so that a table costs each proxy only a reference: ten thousand
 * slices at a thousand proxies stay affordable.
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

    /** Returns a table of one server with weight 1. */
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

    /**
     * Returns the table after the order; lines are sorted by server id. The last result is cached, except in {@link
     * #EMPTY}, which runs on several threads share.
     */
    Table with(Order.SetLine order, Server server, boolean singleOwner) {
        if (order == lastOrder) {
            return lastResult;
        }
        Table result = singleOwner && order.weight() > 0
                ? new Table(new Server[] {server}, new double[] {order.weight()})
                : changed(server, order.weight());
        if (this != EMPTY) {
            lastOrder = order;
            lastResult = result;
        }
        return result;
    }

    /** Returns a table with the weight of the server set, or its line removed if the weight is 0. */
    private Table changed(Server server, double weight) {
        int index = 0;
        while (index < servers.length && servers[index].id().compareTo(server.id()) < 0) {
            index++;
        }
        boolean present = index < servers.length && servers[index] == server;
        int growth = weight > 0 ? present ? 0 : 1 : present ? -1 : 0;
        if (growth == 0 && !present) {
            return this;
        }
        if (servers.length + growth == 0) {
            return EMPTY;
        }
        Server[] newServers = new Server[servers.length + growth];
        double[] newWeights = new double[newServers.length];
        int tail = present ? index + 1 : index;
        int newTail = weight > 0 ? index + 1 : index;
        System.arraycopy(servers, 0, newServers, 0, index);
        System.arraycopy(weights, 0, newWeights, 0, index);
        System.arraycopy(servers, tail, newServers, newTail, servers.length - tail);
        System.arraycopy(weights, tail, newWeights, newTail, servers.length - tail);
        if (weight > 0) {
            newServers[index] = server;
            newWeights[index] = weight;
        }
        return new Table(newServers, newWeights);
    }
}
