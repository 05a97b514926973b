package honeygap.settings;

/**
 * How appliances behave after a start. Times are tenths of a millisecond.
 *
 * @param initialCapacity share of the full capacity right after the start
 * @param warmAfter time after which an appliance has its full capacity
 * @param overloadMultiple multiple of its current capacity at which a cold appliance becomes overloaded
 * @param overloadAfter time at that load after which it is overloaded
 */
public record ColdStartSettings(double initialCapacity, long warmAfter, double overloadMultiple, long overloadAfter) { }
