package org.citrontide.cli.load;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.HdrHistogram.Histogram;

/**
 * Results of a load. Immutable.
 *
 * @param label name of the row in the report
 * @param sent number of requests sent
 * @param byVerdict number of requests by verdict, or by failure
 * @param completedMicros latency of completed requests in µs
 * @param refusedMicros latency of refused requests in µs
 * @param verdictLines one line per request: number, status, verdict
 */
public record LoadReport(
        String label,
        int sent,
        Map<String, Integer> byVerdict,
        Histogram completedMicros,
        Histogram refusedMicros,
        List<String> verdictLines) {
    private static final double MICROS_PER_MILLI = 1000;

    /**
     * Returns the report as a human-readable table.
     *
     * @return a header line and a line of values
     */
    public String text() {
        return String.format(
                "%-12s %8s %10s %9s %12s %9s %9s %9s %9s%n%-12s %8d %10d %9d %12d %9.2f %9.2f %9.2f %9.2f%n",
                "label",
                "sent",
                "completed",
                "not-run",
                "may-have-run",
                "p50 ms",
                "p99 ms",
                "max ms",
                "refuse99",
                label,
                sent,
                count("completed"),
                count("not-run"),
                sent - count("completed") - count("not-run"),
                millis(completedMicros, 50),
                millis(completedMicros, 99),
                millis(completedMicros, 100),
                millis(refusedMicros, 99));
    }

    /**
     * Returns the report as JSON.
     *
     * @return a JSON object with latencies in ms
     */
    public String json() {
        Summary s = new Summary(
                label,
                sent,
                byVerdict,
                millis(completedMicros, 50),
                millis(completedMicros, 99),
                millis(completedMicros, 100),
                millis(refusedMicros, 99));
        try {
            return new ObjectMapper().writeValueAsString(s);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize the load report", e);
        }
    }

    private int count(String verdict) {
        return byVerdict.getOrDefault(verdict, 0);
    }

    private static double millis(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    private record Summary(
            String label,
            int sent,
            Map<String, Integer> byVerdict,
            double p50Ms,
            double p99Ms,
            double maxMs,
            double refusalP99Ms) {}
}
