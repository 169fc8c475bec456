/** Fake configuration service and generated tables. */
package io.jaywick.standin.source;
