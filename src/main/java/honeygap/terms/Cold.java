package honeygap.terms;

/** A cold appliance: what it starts from, when it is warm, and what pushes it over. */
public record Cold(double initialCapacity, long warmAfter, double overloadMultiple, long overloadAfter) { }
