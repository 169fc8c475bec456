/**
 * Stand-in of a target: slots, cold start, drain, shedding and crashes, with a record of what really ran.
 */
package io.jaywick.standin.target;
