/** Validation of tables. */
package io.jaywick.core.verdict;
