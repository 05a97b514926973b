package honeygap.settings;

/**
 * How the list of appliances is obtained. Times are tenths of a millisecond.
 *
 * @param watched whether the decision module must call discovery for it
 * @param pushed whether changes are pushed without a call; discovery then has no queue of calls
 * @param callInterval maximum time without a call
 * @param lease how long the list is valid after discovery confirmed it; 0 means for ever
 */
public record ListSettings(boolean watched, boolean pushed, long callInterval, long lease) { }
