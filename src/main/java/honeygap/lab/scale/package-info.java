/**
 * Simulation of whole fleets in one process: the decision classes that agents run, against models of the services that
 * they share. Everything runs on a virtual clock and is reproducible from a seed.
 */
package honeygap.lab.scale;
