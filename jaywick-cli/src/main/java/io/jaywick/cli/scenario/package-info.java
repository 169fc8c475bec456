/**
 * Runs scenario files in virtual time and checks their promises. See docs/scenarios.md.
 */
package io.jaywick.cli.scenario;
