/** Commands that check, pack and generate tables. */
package io.jaywick.cli.check;
