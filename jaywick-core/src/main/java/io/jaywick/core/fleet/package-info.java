/** The instances that serve calls, as the platform lists them, and the data centres that operators evacuated. */
package io.jaywick.core.fleet;
