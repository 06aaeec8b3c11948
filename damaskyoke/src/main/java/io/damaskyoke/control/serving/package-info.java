/** What an agent does with the requests it was sent: wait, run, or refuse in time. */
package io.damaskyoke.control.serving;
