/** What all decisions share: the shape of a state machine, the control thread and its clock. */
package io.damaskyoke.control;
