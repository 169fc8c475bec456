/**
 * Module.
 */
package io.jaywick.cli;
