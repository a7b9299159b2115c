/** Starts a case; exits with 2 if it can't run. */
final class Cases {

    private Cases() {}

    /** Runs the case with the name in the first argument, which writes the record file in the second one. */
    public static void main(String[] args) {
        try {
            String[] rest = {args[1]};
            switch (args[0]) {
                case "GangCase" -> GangCase.main(rest);
                case "KindCase" -> KindCase.main(rest);
                case "LimitCase" -> LimitCase.main(rest);
                default -> throw new IllegalArgumentException(args[0]);
            }
        } catch (Throwable failure) {
            failure.printStackTrace();
            Runtime.getRuntime().exit(2);
        }
    }
}
