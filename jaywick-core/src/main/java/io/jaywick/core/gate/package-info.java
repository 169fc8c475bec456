/** Admission at the target: slots, a queue by priority and latency objective, and the budget of a cold target. */
package io.jaywick.core.gate;
