/** Admission control of the local target: slots, a queue by priority and latency objective, and cold-start limits. */
package io.jaywick.core.gate;
