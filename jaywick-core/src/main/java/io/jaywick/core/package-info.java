/**
 * Decision logic without I/O.
 */
package io.jaywick.core;
