import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Jobs that a case hands in, for what the stand-ins have to know of them. */
final class CaseJobs {

    private static final Map<String, Integer> CPU_OF_JOB = new ConcurrentHashMap<>();

    private CaseJobs() {}

    static void add(String job, int cpu) {
        CPU_OF_JOB.put(job, cpu);
    }

    /** Returns the processor demand of a task in thousandths of a core. */
    static int cpuOf(String task) {
        return CPU_OF_JOB.getOrDefault(task.substring(0, task.indexOf('.')), 0);
    }
}
