/** Value types for the ids that travel through the system, so that none is taken for another. */
package io.damaskyoke.id;
