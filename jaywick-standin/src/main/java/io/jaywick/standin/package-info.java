/**
 * Module.
 */
package io.jaywick.standin;
