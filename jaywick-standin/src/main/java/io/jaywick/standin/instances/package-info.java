/** Fake instance list. */
package io.jaywick.standin.instances;
