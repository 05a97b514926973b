/** Decides how much of the event loop the input of one connection gets: shares of an iteration, and limits of queues. */
package honeygap.rules.input;
