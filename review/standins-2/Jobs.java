import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The jobs that the requesters know, which say what the tasks need and do. */
final class Jobs {

    /** A step of a job. */
    static final class Step {
        int count = 1;
        int cpu = 1_000;
        int memMb = 100;
        long workMs = 500;
        List<Integer> after = List.of();
        boolean gang;
        boolean speculative;
        boolean longRunning;
        boolean checkpointed;
        int antiAffinity;
        String label = "";
        /** Number of the first runs of task 0 that fail by the task's own fault. */
        int failures;

        String json() {
            StringBuilder json = new StringBuilder("{\"count\":" + count + ",\"cpu\":" + cpu + ",\"memMb\":" + memMb + ",\"estMs\":" + workMs);
            if (!after.isEmpty()) {
                json.append(",\"after\":").append(after.toString().replace(" ", ""));
            }
            json.append(gang ? ",\"gang\":true" : "").append(speculative ? ",\"speculative\":true" : "");
            json.append(longRunning ? ",\"longRunning\":true" : "").append(checkpointed ? ",\"checkpointed\":true" : "");
            json.append(antiAffinity > 0 ? ",\"antiAffinity\":" + antiAffinity : "");
            json.append(label.isEmpty() ? "" : ",\"requirements\":\"" + label + "\"");
            return json.append("}").toString();
        }
    }

    /** A job and what became of it. */
    static final class Job {
        final String id;
        final String spec;
        final List<Step> steps = new ArrayList<>();
        int repeats;
        long firstMs;
        long intervalMs;
        int maxAttempts = 4;
        volatile long sentMs = -1;
        volatile boolean accepted;
        volatile boolean mayBeStored;
        volatile long cancelSentMs = -1;
        volatile long cancelAckMs = -1;
        volatile String state = "";

        Job(String id, String spec) {
            this.id = id;
            this.spec = spec;
        }

        String body() {
            StringBuilder json = new StringBuilder("{\"spec\":\"" + spec + "\",\"steps\":[");
            for (int i = 0; i < steps.size(); i++) {
                json.append(i == 0 ? "" : ",").append(steps.get(i).json());
            }
            json.append("]");
            if (repeats > 0) {
                json.append(",\"repeats\":" + repeats + ",\"firstMs\":" + firstMs + ",\"intervalMs\":" + intervalMs);
            }
            return json.append("}").toString();
        }

        int occurrences() {
            return Math.max(1, repeats);
        }
    }

    private final Map<String, Job> jobs = new ConcurrentHashMap<>();

    void add(Job job) {
        jobs.put(job.id, job);
    }

    Job of(String task) {
        return jobs.get(part(task, 0));
    }

    Step stepOf(String task) {
        Job job = of(task);
        return job == null ? null : job.steps.get(Integer.parseInt(part(task, 2)));
    }

    Iterable<Job> all() {
        return jobs.values();
    }

    static String part(String task, int index) {
        return task.split("\\.")[index];
    }

    /** Returns the name of a step of an occurrence: ID.K.STEP. */
    static String stepName(String task) {
        return task.substring(0, task.lastIndexOf('.'));
    }
}
