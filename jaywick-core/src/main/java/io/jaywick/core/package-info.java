/**
 * Decisions without I/O.
 */
package io.jaywick.core;
