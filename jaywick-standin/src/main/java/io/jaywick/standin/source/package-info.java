/** Stand-in of the configuration service, in memory and over HTTP, and generated tables. */
package io.jaywick.standin.source;
