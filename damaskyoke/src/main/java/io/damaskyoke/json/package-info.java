/**
 * JSON as trees, read and written token by token: a router that is started again has no time for a
 * mapper, which looks at classes and annotations first.
 */
package io.damaskyoke.json;
