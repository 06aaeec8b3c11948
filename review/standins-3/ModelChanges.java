import java.util.concurrent.CompletableFuture;

/**
 * Two fleets beside each other, each with one change of the config: one adds a model and a route,
 * the other states a larger size of a model.
 */
final class ModelChanges {
    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, ModelChanges::play);
    }

    private static int play(Case with) {
        CompletableFuture<Integer> added = start(with, NewModel::play);
        CompletableFuture<Integer> resized = start(with, ResizedModel::play);
        Record.line(
                "a model and a route are added: %d, a model is larger: %d (1: the rule was broken)",
                added.join(), resized.join());
        if (added.join() == Case.COULD_NOT_RUN || resized.join() == Case.COULD_NOT_RUN) {
            return Case.COULD_NOT_RUN;
        }
        return Math.max(added.join(), resized.join());
    }

    private static CompletableFuture<Integer> start(Case with, Case.Play play) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return play.play(with);
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                },
                step -> new Thread(step).start());
    }
}
