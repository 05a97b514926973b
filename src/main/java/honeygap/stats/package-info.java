/** Statistics without thresholds or decisions: likelihoods that the decision module fits. */
package honeygap.stats;
