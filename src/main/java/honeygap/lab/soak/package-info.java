/**
 * Soak runs: real agent processes with simulated clients and stand-ins for appliances, discovery and the rollout desk,
 * under faults that a seed schedules, and a checker that searches the record for violations of the agent's rules. Used
 * by tests and by operators on the command line; not part of the agent.
 */
package honeygap.lab.soak;
