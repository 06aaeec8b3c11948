package io.damaskyoke.operator;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One process of the deployment, as {@code /operator/v1/processes} lists it.
 *
 * @param vm its VM
 * @param role {@code router} or {@code agent}
 * @param state {@code live} or {@code leaving} as the platform's list says; {@code unlisted} for
 *     one that the list doesn't show, but that is known here
 * @param operatorUrl where operators reach it; null if only the list could tell
 */
public record ProcessEntry(
        @JsonProperty("vm") String vm,
        @JsonProperty("role") String role,
        @JsonProperty("state") String state,
        @JsonProperty("operator_url") @JsonInclude(JsonInclude.Include.NON_NULL)
                String operatorUrl) {}
