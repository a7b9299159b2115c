package org.tamarackline.fleet;

/** Text in which the leader tells another node the outcome of a submission. */
final class SubmissionResponse {

    private static final String ACCEPTED = "ACCEPTED ";
    private static final String UNAVAILABLE = "UNAVAILABLE ";
    private static final String UNDETERMINED = "UNDETERMINED ";

    private SubmissionResponse() {}

    static String encode(JobRequestHandler.Outcome outcome) {
        return switch (outcome) {
            case JobRequestHandler.Outcome.Accepted accepted -> ACCEPTED + accepted.detail();
            case JobRequestHandler.Outcome.Unavailable unavailable -> UNAVAILABLE + unavailable.cause();
            case JobRequestHandler.Outcome.Undetermined undetermined -> UNDETERMINED + undetermined.cause();
            case JobRequestHandler.Outcome.TooLarge tooLarge -> UNAVAILABLE + tooLarge.cause();
            case JobRequestHandler.Outcome.NoSuchJob none -> UNAVAILABLE + "the store does not have the job";
        };
    }

    /** Decodes a response; the outcome is undetermined if the text is not one. */
    static JobRequestHandler.Outcome decode(String text) {
        if (text.startsWith(ACCEPTED)) {
            return new JobRequestHandler.Outcome.Accepted(text.substring(ACCEPTED.length()));
        }
        if (text.startsWith(UNAVAILABLE)) {
            return new JobRequestHandler.Outcome.Unavailable(text.substring(UNAVAILABLE.length()));
        }
        if (text.startsWith(UNDETERMINED)) {
            return new JobRequestHandler.Outcome.Undetermined(text.substring(UNDETERMINED.length()));
        }
        return new JobRequestHandler.Outcome.Undetermined("the response of the leader cannot be decoded");
    }
}
