package honeygap.capture.query;

import honeygap.capture.message.Spoken;
import honeygap.read.Signs;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Which RPCs are meant, in a small language: {@code method == "book" and took > 20ms and not served}. */
public final class Filter {

    /** What can't be read of a filter, with the column where that is, counted from 1. */
    public static final class Unread extends IllegalArgumentException {

        private static final long serialVersionUID = 1;

        public final int column;

        Unread(int column, String words) {
            super("column " + column + ": " + words);
            this.column = column;
        }
    }

    private static final Map<String, Function<Spoken, String>> TEXTS = new TreeMap<>(Map.of(
            "method", spoken -> spoken.method, "key", spoken -> spoken.key, "tenant", spoken -> spoken.tenant,
            "id", spoken -> spoken.id, "code", spoken -> spoken.code, "protocol", spoken -> spoken.protocol,
            "client", spoken -> spoken.client.toString(), "server", spoken -> spoken.server.toString(),
            "outcome", spoken -> spoken.outcome.name()));

    /** Numbers without a unit. */
    private static final Map<String, ToDoubleFunction<Spoken>> NUMBERS = new TreeMap<>(Map.of(
            "connection", spoken -> spoken.connection, "requestBytes", spoken -> spoken.request.length,
            "answerBytes", spoken -> spoken.answer.length));

    /** Times, in nanoseconds. */
    private static final Map<String, ToDoubleFunction<Spoken>> TIMES = new TreeMap<>(Map.of(
            "took", spoken -> spoken.took, "deadline", spoken -> spoken.deadlineMs * 1e6));

    private static final Map<String, Double> UNITS = Map.of("ns", 1.0, "us", 1e3, "ms", 1e6, "s", 1e9, "m", 6e10);

    private Filter() {
    }

    /** Names of all fields, for help. */
    public static String fields() {
        return String.join(", ", TEXTS.keySet()) + " (text); " + String.join(", ", NUMBERS.keySet())
                + " (numbers); " + String.join(", ", TIMES.keySet()) + " (times, as 20ms); served, refused, failed,"
                + " open, torn, read (true or not)";
    }

    /**
     * Reads a filter; null and blank mean all.
     *
     * @throws Unread where it can't be read
     */
    public static Predicate<Spoken> of(String words) {
        if (words == null || words.isBlank()) {
            return spoken -> true;
        }
        BaseErrorListener errors = new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> recognizer, Object symbol, int line, int column, String message,
                                    RecognitionException cause) {
                String there = symbol instanceof Token token && token.getType() != Token.EOF
                        ? "\"" + token.getText() + "\" does not belong here" : "the filter ends too soon";
                throw new Unread(column + 1, there);
            }
        };
        // On one line, so that a column tells the place.
        QueryLexer lexer = new QueryLexer(CharStreams.fromString(words.replace('\n', ' ').replace('\r', ' ')));
        lexer.removeErrorListeners();
        lexer.addErrorListener(errors);
        QueryParser parser = new QueryParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(errors);
        return new Maker().visitWhole(parser.whole());
    }

    private static final class Maker extends QueryBaseVisitor<Predicate<Spoken>> {

        @Override
        public Predicate<Spoken> visitWhole(QueryParser.WholeContext context) {
            return visit(context.either());
        }

        @Override
        public Predicate<Spoken> visitEither(QueryParser.EitherContext context) {
            return context.both().stream().map(this::visit).reduce(Predicate::or).orElseThrow();
        }

        @Override
        public Predicate<Spoken> visitBoth(QueryParser.BothContext context) {
            return context.plain().stream().map(this::visit).reduce(Predicate::and).orElseThrow();
        }

        @Override
        public Predicate<Spoken> visitNot(QueryParser.NotContext context) {
            return visit(context.plain()).negate();
        }

        @Override
        public Predicate<Spoken> visitInner(QueryParser.InnerContext context) {
            return visit(context.either());
        }

        @Override
        public Predicate<Spoken> visitHolds(QueryParser.HoldsContext context) {
            String word = context.WORD().getText();
            for (Spoken.Outcome outcome : Spoken.Outcome.values()) {
                if (outcome.name().equals(word)) {
                    return spoken -> spoken.outcome == outcome;
                }
            }
            if (word.equals("read")) {
                return spoken -> spoken.isRead;
            }
            throw unknown(context.WORD().getSymbol(), "nothing that holds or not");
        }

        private static Unread unknown(Token token, String what) {
            return new Unread(token.getCharPositionInLine() + 1, "\"" + token.getText() + "\" is " + what + "; known: "
                    + fields());
        }

        @Override
        public Predicate<Spoken> visitMatch(QueryParser.MatchContext context) {
            Token field = context.WORD().getSymbol();
            Function<Spoken, String> text = TEXTS.get(field.getText());
            if (text == null) {
                throw unknown(field, "no text");
            }
            try {
                Pattern pattern = Pattern.compile(plain(context.TEXT().getSymbol()));
                return spoken -> pattern.matcher(text.apply(spoken)).find();
            } catch (PatternSyntaxException e) {
                throw new Unread(context.TEXT().getSymbol().getCharPositionInLine() + 1, "not a pattern: "
                        + e.getDescription().toLowerCase(Locale.ROOT));
            }
        }

        @Override
        public Predicate<Spoken> visitAmong(QueryParser.AmongContext context) {
            return context.value().stream().map(value -> compare(context.WORD().getSymbol(), "==", value))
                    .reduce(Predicate::or).orElseThrow();
        }

        @Override
        public Predicate<Spoken> visitCompare(QueryParser.CompareContext context) {
            return compare(context.WORD().getSymbol(), context.compare.getText(), context.value());
        }

        private static Predicate<Spoken> compare(Token field, String sign, QueryParser.ValueContext value) {
            Token there = value.getStart();
            String name = field.getText();
            boolean isText = there.getType() == QueryLexer.TEXT;
            if (TEXTS.containsKey(name)) {
                if (!isText) {
                    throw new Unread(there.getCharPositionInLine() + 1, name + " is text; put the value in quotes");
                }
                String wanted = plain(there);
                Function<Spoken, String> text = TEXTS.get(name);
                return spoken -> Signs.holds(sign, text.apply(spoken).compareTo(wanted));
            }
            boolean isTime = TIMES.containsKey(name);
            ToDoubleFunction<Spoken> number = isTime ? TIMES.get(name) : NUMBERS.get(name);
            if (number == null) {
                throw unknown(field, "no field");
            }
            double wanted = number(there, isText, name, isTime);
            // What was never answered took no time that could be compared.
            return spoken -> !(isTime && number.applyAsDouble(spoken) < 0)
                    && Signs.holds(sign, Double.compare(number.applyAsDouble(spoken), wanted));
        }

        private static double number(Token there, boolean isText, String name, boolean isTime) {
            int column = there.getCharPositionInLine() + 1;
            String words = there.getText();
            int end = words.length();
            while (end > 0 && Character.isLetter(words.charAt(end - 1))) {
                end--;
            }
            String unit = words.substring(end);
            if (isText || end == 0) {
                throw new Unread(column, name + " is a number; put the value without quotes");
            }
            if (isTime != UNITS.containsKey(unit) || !isTime && !unit.isEmpty()) {
                throw new Unread(column, isTime ? name + " is a time; give it a unit, as 20ms (ns, us, ms, s, m)"
                        : name + " is a number without a unit");
            }
            return Double.parseDouble(words.substring(0, end)) * (isTime ? UNITS.get(unit) : 1);
        }

        private static String plain(Token text) {
            String words = text.getText();
            return words.substring(1, words.length() - 1).replaceAll("\\\\(.)", "$1");
        }
    }
}
