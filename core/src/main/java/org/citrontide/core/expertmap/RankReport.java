package org.citrontide.core.expertmap;

import java.util.OptionalLong;

/**
 * State of one rank as its engine reports it, some hundred milliseconds late. Immutable.
 *
 * @param group name of its group
 * @param epoch how often the group has formed
 * @param rank its number in the group
 * @param size ranks of the group
 * @param open whether the group works
 * @param step number of the last pass that began
 * @param mapVersion map in force
 * @param prepared map that is ready to be switched to
 * @param armed map that it will switch to
 * @param heldStep pass that the group may not begin before this rank lets it
 * @param slowness time of its work relative to a healthy rank, 1 or more
 */
public record RankReport(
        String group,
        int epoch,
        int rank,
        int size,
        boolean open,
        long step,
        long mapVersion,
        OptionalLong prepared,
        OptionalLong armed,
        OptionalLong heldStep,
        double slowness) {}
