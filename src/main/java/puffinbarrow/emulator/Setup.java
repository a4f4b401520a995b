package puffinbarrow.emulator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import puffinbarrow.config.Lines;
import puffinbarrow.config.Problem;
import puffinbarrow.config.Statement;
import puffinbarrow.config.Words;
import puffinbarrow.day.Script;

/** A day as the emulator plays it: a day's script, with {@code model} lines between. */
public record Setup(Script script, Model model) {
    public static Setup read(Path file, List<Problem> problems) {
        return of(Lines.read(file, problems), problems);
    }

    public static Setup parse(String name, String text, List<Problem> problems) {
        return of(Lines.parse(name, text, problems), problems);
    }

    private static Setup of(List<Statement> statements, List<Problem> problems) {
        Model model = new Model();
        List<Statement> rest = new ArrayList<>();
        for (Statement statement : statements) {
            if (statement.keyword().equals("model")) {
                Words w = new Words(statement, problems);
                model.take(w);
                w.end();
            } else {
                rest.add(statement);
            }
        }
        return new Setup(Script.of(rest, problems), model);
    }
}
