package puffinbarrow.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks the Alloy model of the lease protocol within small bounds: every assertion holds with all guards, and for each
 * guard one assertion fails without it.
 */
class ModelTest {
    @Test
    void assertionsHoldWithAllGuardsAndFailWithoutAnyOne(@TempDir Path folder) throws Exception {
        Path model = folder.resolve("lease.als");
        try (var in = ModelTest.class.getResourceAsStream("/puffinbarrow/lease.als")) {
            Files.copy(in, model);
        }
        Module module = CompUtil.parseEverything_fromFile(A4Reporter.NOP, null, model.toString());
        A4Options options = new A4Options();
        Map<String, Boolean> counterexamples = new TreeMap<>();
        Map<String, Boolean> expected = new TreeMap<>();
        for (Command command : module.getAllCommands()) {
            A4Solution solution = TranslateAlloyToKodkod.execute_command(
                    A4Reporter.NOP, module.getAllReachableSigs(), command, options);
            counterexamples.put(command.label, solution.satisfiable());
            expected.put(command.label, command.label.startsWith("Without"));
        }
        assertEquals(expected, counterexamples, "true: a counterexample was found");
        assertEquals(10, counterexamples.size());
    }
}
