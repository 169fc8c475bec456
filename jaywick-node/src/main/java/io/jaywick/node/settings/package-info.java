/** The settings file of a node. */
package io.jaywick.node.settings;
