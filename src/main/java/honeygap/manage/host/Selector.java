package honeygap.manage.host;

import honeygap.read.Signs;
import java.util.Map;
import java.util.function.Predicate;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;

/** Chooses instances by labels: {@code location=east,build<43}; all parts must hold. Numbers compare as numbers. */
public final class Selector {

    private Selector() {
    }

    /**
     * Reads a selector; an empty one takes all.
     *
     * @throws IllegalArgumentException with the column where it can't be read
     */
    public static Predicate<Map<String, String>> of(String text) {
        BaseErrorListener errors = new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> recognizer, Object symbol, int line, int column, String message,
                                    RecognitionException cause) {
                throw new IllegalArgumentException("selector, column " + (column + 1)
                        + ": expected parts such as location=east, with commas between");
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
        int order = areNumbers ? Long.compare(Long.parseLong(actual), Long.parseLong(expected)) : actual.compareTo(expected);
        return Signs.holds(operator, order);
    }
}
