/**
 * Runner of scenario files on virtual time. See docs/scenarios.md.
 */
package io.jaywick.cli.scenario;
