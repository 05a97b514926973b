/**
 * Soak runs: real processes of the agent before stand-ins of appliances, discovery, the rollout desk and clients, with faults
 * that a seed schedules, and a checker that goes through the records of all for broken rules. For tests and operators by
 * hand; no part of an agent.
 */
package honeygap.lab.soak;
