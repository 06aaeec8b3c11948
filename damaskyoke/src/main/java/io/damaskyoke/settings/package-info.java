/** The settings of a process, checked as a whole before anything starts. */
package io.damaskyoke.settings;
