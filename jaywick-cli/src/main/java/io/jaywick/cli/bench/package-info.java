/**
 * Measurements of strategies side by side.
 */
package io.jaywick.cli.bench;
