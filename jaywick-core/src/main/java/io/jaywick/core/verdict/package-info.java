/** Decides whether a table is accepted. */
package io.jaywick.core.verdict;
