package puffinbarrow.emulator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import puffinbarrow.config.ArgumentReader;
import puffinbarrow.config.Problem;
import puffinbarrow.config.Statement;
import puffinbarrow.config.StatementReader;
import puffinbarrow.day.Script;

/**
 * A day as the emulator runs it: the script of the day, with parameters of the models from its {@code model} lines.
 */
public record EmulatedDay(Script script, ModelParameters model) {
    /** Reads a file; mistakes are added to the problems. */
    public static EmulatedDay read(Path file, List<Problem> problems) {
        return build(StatementReader.read(file, problems), problems);
    }

    /** Reads a text; {@code name} is the file name given in problems. */
    public static EmulatedDay parse(String name, String text, List<Problem> problems) {
        return build(StatementReader.parse(name, text, problems), problems);
    }

    private static EmulatedDay build(List<Statement> statements, List<Problem> problems) {
        ModelParameters model = new ModelParameters();
        List<Statement> scriptStatements = new ArrayList<>();
        for (Statement statement : statements) {
            if (statement.keyword().equals("model")) {
                ArgumentReader arguments = new ArgumentReader(statement, problems);
                model.readLine(arguments);
                arguments.expectEnd();
            } else {
                scriptStatements.add(statement);
            }
        }
        return new EmulatedDay(Script.fromStatements(scriptStatements, problems), model);
    }
}
