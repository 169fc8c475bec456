/**
 * Module.
 */
package io.jaywick.node;
