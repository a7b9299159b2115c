import java.nio.file.Path;

/** Runs one case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
public final class Main {

    /** A case; returns whether the rule held. */
    interface Case {
        boolean run(Deployment deployment, boolean trouble) throws Exception;
    }

    public static void main(String[] arguments) {
        Case chosen = switch (arguments[0]) {
            case "avoided-runner" -> AvoidedRunner::run;
            case "large-progress" -> LargeProgress::run;
            case "cancelled-before-stored" -> CancelledBeforeStored::run;
            case "gang-attempts" -> GangAttempts::run;
            default -> throw new IllegalArgumentException(arguments[0]);
        };
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Deployment deployment = new Deployment(Path.of(arguments[1]))) {
            System.out.println("logs of the nodes: " + deployment.folder());
            try {
                boolean held = chosen.run(deployment, trouble);
                deployment.recorder.line("verdict: the rule %s", held ? "held" : "was broken");
                System.out.println(held ? "held" : "broken");
                status = held ? 0 : 1;
            } catch (Exception failure) {
                deployment.recorder.line("could not run: %s", failure);
                failure.printStackTrace();
            }
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }
}
