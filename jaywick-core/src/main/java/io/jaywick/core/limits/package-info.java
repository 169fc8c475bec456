/** Enforcement of the party limits across all nodes (I13). */
package io.jaywick.core.limits;
