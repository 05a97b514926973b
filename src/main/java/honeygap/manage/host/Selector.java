package honeygap.manage.host;

import honeygap.config.ComparisonOperators;
import java.util.Map;
import java.util.function.Predicate;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;

/**
 * Selects instances by labels, for example {@code location=east,build<43}; all conditions must match. Numbers are
 * compared numerically.
 */
public final class Selector {

    private Selector() {
    }

    /**
     * Parses a selector; an empty one matches all instances.
     *
     * @throws IllegalArgumentException with the column of a syntax error
     */
    public static Predicate<Map<String, String>> of(String text) {
        BaseErrorListener errors = new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> recognizer, Object symbol, int line, int column, String message,
                                    RecognitionException cause) {
                throw new IllegalArgumentException("selector, column " + (column + 1)
                        + ": expected conditions such as location=east, separated by commas");
            }
        };
        SelectLexer lexer = new SelectLexer(CharStreams.fromString(text));
        lexer.removeErrorListeners();
        lexer.addErrorListener(errors);
        SelectParser parser = new SelectParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(errors);
        Predicate<Map<String, String>> predicate = labels -> true;
        for (SelectParser.PartContext part : parser.whole().part()) {
            String name = part.name.getText();
            String operator = part.sign.getText();
            String value = part.value.getText();
            predicate = predicate.and(labels -> labels.containsKey(name) ? matches(labels.get(name), operator, value)
                    : operator.equals("!="));
        }
        return predicate;
    }

    private static boolean matches(String actual, String operator, String expected) {
        boolean areNumbers = actual.matches("-?[0-9]{1,15}") && expected.matches("-?[0-9]{1,15}");
        int order = areNumbers ? Long.compare(Long.parseLong(actual), Long.parseLong(expected))
                : actual.compareTo(expected);
        return ComparisonOperators.matches(operator, order);
    }
}
