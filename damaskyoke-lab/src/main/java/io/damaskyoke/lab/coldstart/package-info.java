/** Cold starts: planner, fleet and holders on a clock of their own, beside a naive version. */
package io.damaskyoke.lab.coldstart;
