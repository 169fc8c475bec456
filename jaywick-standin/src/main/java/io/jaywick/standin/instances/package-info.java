/** Stand-in of the instance list. */
package io.jaywick.standin.instances;
