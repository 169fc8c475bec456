/** The fleet as the platform publishes it: the instances that serve calls, and the data centres that are evacuated. */
package io.jaywick.core.fleet;
